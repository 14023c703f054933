"""An in-memory store that simulates failures and concurrent writers."""

from sassafrasgate.configuration.publication import MANIFEST_KEY
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import Item


class FakeStore:
    """Keeps keys in memory; ``script`` holds the outcome of each call.

    The outcomes are ``ok``, ``down`` (no effect, no reply), ``lost``
    (effect, but no reply) and ``late`` (no reply; the effect follows once
    the next call has begun). Calls after the end of the script succeed.
    """

    def __init__(self, script=()):
        self.script = list(script)
        self.items = {}
        self.revision = 0
        self.late = []
        self.manifests = []
        self.calls = []
        # Called before the next write of the manifest.
        self.concurrent_change = None
        # Called before the first read after a manifest was written.
        self.following_change = None

    async def get(self, key):
        """Return the item of a key."""
        await self.begin('get', key)
        outcome = self.script.pop(0) if self.script else 'ok'
        if outcome != 'ok':
            raise StoreUnavailableError('no reply')
        return self.items.get(key)

    async def create(self, key, value):
        """Write a key that must not exist."""
        return await self.write('create', key, value, None)

    async def swap(self, key, value, revision):
        """Write a key that must have ``revision``."""
        return await self.write('swap', key, value, revision)

    async def begin(self, name, key):
        """Record a call; apply late writes and make other changes first."""
        self.calls.append((name, key))
        self.apply_late_writes(age=1)
        concurrent = self.concurrent_change
        if concurrent is not None and name != 'get' and key == MANIFEST_KEY:
            self.concurrent_change = None
            await concurrent()
        following = self.following_change
        if following is not None and name == 'get' and self.manifests:
            self.following_change = None
            await following()

    def apply_late_writes(self, age=0):
        """Apply delayed writes that are more than ``age`` calls old."""
        due = [late for late in self.late if late[0] + age < len(self.calls)]
        self.late = [late for late in self.late if late not in due]
        for _, write in due:
            self.try_write(*write)

    async def write(self, name, key, value, revision):
        """Write a key with the next outcome of the script."""
        await self.begin(name, key)
        outcome = self.script.pop(0) if self.script else 'ok'
        if outcome == 'late':
            self.late.append((len(self.calls), (key, value, revision)))
        done = outcome in ('ok', 'lost') and self.try_write(
            key, value, revision
        )
        if outcome != 'ok':
            raise StoreUnavailableError('no reply')
        if not done:
            raise StoreConflictError('another revision')
        return self.revision

    def try_write(self, key, value, revision):
        """Write a key if it has the revision; return whether it had."""
        found = self.items.get(key)
        if (found.revision if found else None) != revision:
            return False
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        if key == MANIFEST_KEY:
            self.manifests.append(value)
        return True
