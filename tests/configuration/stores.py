"""An in-memory store that loses replies, delays writes and admits rivals."""

from sassafrasgate.configuration.publication import MANIFEST_KEY
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import Item


class FakeStore:
    """Keeps keys in memory; ``script`` says how each call goes wrong.

    Each call takes one word of the script: ``ok``, ``down`` (no effect, no
    answer), ``lost`` (effect, no answer), ``late`` (no answer, effect
    after the next call has begun). The calls after its end succeed.
    """

    def __init__(self, script=()):
        self.script = list(script)
        self.items = {}
        self.revision = 0
        self.late = []
        self.manifests = []
        self.calls = []
        # Run before the next write of the manifest.
        self.rival = None
        # Run before the first read that can see a manifest.
        self.follower = None

    async def get(self, key):
        """Return a key."""
        await self.begin('get', key)
        word = self.script.pop(0) if self.script else 'ok'
        if word != 'ok':
            raise StoreUnavailableError('no answer')
        return self.items.get(key)

    async def create(self, key, value):
        """Write a key that must not exist."""
        return await self.write('create', key, value, None)

    async def swap(self, key, value, revision):
        """Write a key that must have a revision."""
        return await self.write('swap', key, value, revision)

    async def begin(self, name, key):
        """Note a call; apply late writes and let a rival go first."""
        self.calls.append((name, key))
        self.settle(age=1)
        rival = self.rival
        if rival is not None and name != 'get' and key == MANIFEST_KEY:
            self.rival = None
            await rival()
        follower = self.follower
        if follower is not None and name == 'get' and self.manifests:
            self.follower = None
            await follower()

    def settle(self, age=0):
        """Let writes take effect that are more than ``age`` calls late."""
        due = [late for late in self.late if late[0] + age < len(self.calls)]
        self.late = [late for late in self.late if late not in due]
        for _, write in due:
            self.try_write(*write)

    async def write(self, name, key, value, revision):
        """Write a key as the script says."""
        await self.begin(name, key)
        word = self.script.pop(0) if self.script else 'ok'
        if word == 'late':
            self.late.append((len(self.calls), (key, value, revision)))
        done = word in ('ok', 'lost') and self.try_write(key, value, revision)
        if word != 'ok':
            raise StoreUnavailableError('no answer')
        if not done:
            raise StoreConflictError('another revision')
        return self.revision

    def try_write(self, key, value, revision):
        """Write a key if it has the revision; tell whether it did."""
        found = self.items.get(key)
        if (found.revision if found else None) != revision:
            return False
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        if key == MANIFEST_KEY:
            self.manifests.append(value)
        return True
