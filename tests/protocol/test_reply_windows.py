"""Tests the limit for the large replies of one client."""

from sassafrasgate.protocol.reply_windows import ReplyWindow


def test_client_gets_no_more_than_its_window():
    # Guards against replies that wait without bound for a client that asks
    # for more than it reads, and against a limit that others share.
    window = ReplyWindow(10, 1000)
    assert window.add(b'a', 8, 0)
    assert not window.add(b'a', 3, 999)
    assert window.add(b'b', 8, 999)
    assert window.add(b'a', 3, 1000)


def test_forgotten_client_takes_no_memory():
    # Guards against an entry for each connection that there has ever been.
    window = ReplyWindow(10, 1000)
    window.add(b'a', 8, 0)
    window.forget(b'a')
    window.forget(b'b')
    assert window.add(b'a', 8, 1)
