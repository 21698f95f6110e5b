"""Drives a cap divider and its holders over an unreliable network."""

import dataclasses
import functools
import random

from sassafrasway_core import caps, clock, invariants, window

CAP = 100.0
_EPOCH = 1_000_000


class _Holder:
    """An instance that admits as much as its share lets it."""

    def __init__(self, name, time):
        self.name = name
        self.epoch = 0
        self.share = caps.HeldShare(clock=time)
        self.window = window.SlidingWindow(limit=0, clock=time)

    def take(self, amount):
        self.window.set_limit(self.share.amount())
        return self.window.try_take(amount)


class Driver:
    """Runs operations that ``rng`` chooses; an ``AssertionError`` names a broken rule.

    Heartbeats and replies are lost, delayed and reordered; holders pause, die and start; the
    coordinator changes and reaches only some of the holders.
    """

    def __init__(self, rng):
        self._rng = rng
        self._time = clock.ManualClock()
        self._holders = [_Holder(number, self._time) for number in range(rng.randint(1, 5))]
        self._next_name = len(self._holders)
        self._messages = []
        self._taken = []
        self._epoch = 0
        self._divider = self._new_divider()
        self.admitted = 0.0

    def step(self):
        """Runs one operation."""
        operations = [
            *[self._heartbeat] * 6,
            *[self._deliver] * 14,
            *[self._take] * 8,
            *[self._advance] * 4,
            self._lose,
        ]
        if self._rng.random() < 0.03:
            operations = [self._die, self._start, self._change_coordinator]
        self._rng.choice(operations)()

    def settle(self):
        """Lets all messages arrive for a while and checks that the whole cap is in use."""
        self._messages.clear()
        for _ in range(20):
            self._time.advance(0.5)
            self._take()
            for holder in self._holders:
                self._settle_one(holder)
        for holder in self._holders:
            share = holder.share.amount()
            assert share >= 0.99 * CAP / len(self._holders), f"share is only {share}"

    def _settle_one(self, holder):
        held = holder.share.sequence
        share = self._divider.renew(holder.name, demand=300.0, confirmed=held)
        holder.epoch = self._epoch
        holder.share.apply(share, sent_s=self._time.monotonic())

    def _new_divider(self):
        checks = invariants.Invariants(mode=invariants.Mode.RAISE)
        return caps.CapDivider(
            cap=CAP,
            clock=self._time,
            invariants=checks,
            first_sequence=self._epoch * _EPOCH + 1,
        )

    def _heartbeat(self):
        if not self._holders:
            return
        holder = self._rng.choice(self._holders)
        demand = self._rng.choice([0.0, 5.0, 40.0, 300.0])
        request = (demand, holder.share.sequence, self._time.monotonic())
        self._messages.append((self._epoch, holder, request, None))

    def _deliver(self):
        if not self._messages:
            return
        # Mostly in order, so that confirmations get through; some messages arrive late.
        place = 0 if self._rng.random() < 0.7 else self._rng.randrange(len(self._messages))
        epoch, holder, request, share = self._messages.pop(place)
        if holder not in self._holders or (share is None and epoch != self._epoch):
            return
        if callable(request):
            request(epoch, holder)
            return
        demand, confirmed, sent_s = request
        if share is None:
            share = self._divider.renew(holder.name, demand=demand, confirmed=confirmed)
            self._messages.append((epoch, holder, request, share))
            assert self._divider.reserved() <= CAP * 1.000001 or self._epoch
        elif epoch >= holder.epoch:
            holder.epoch = epoch
            holder.share.apply(share, sent_s=sent_s)

    def _lose(self):
        if self._messages:
            self._messages.pop(self._rng.randrange(len(self._messages)))

    def _advance(self):
        self._time.advance(self._rng.choice([0.05, 0.1, 0.3, 1.0]))

    def _take(self):
        for holder in self._rng.sample(self._holders, k=len(self._holders)):
            amount = self._rng.choice([1.0, 7.0, 30.0])
            while holder.take(amount):
                self._taken.append((self._time.monotonic(), amount))
                self.admitted += amount
        now_s = self._time.monotonic()
        self._taken = [each for each in self._taken if now_s - each[0] <= window.WINDOW_S]
        used = sum(amount for _, amount in self._taken)
        assert used <= CAP * 1.000001, f"{used} admitted in one second, cap is {CAP}"

    def _die(self):
        if self._holders:
            holder = self._holders.pop(self._rng.randrange(len(self._holders)))
            self._divider.remove(holder.name)

    def _start(self):
        if len(self._holders) < 6:
            self._holders.append(_Holder(self._next_name, self._time))
            self._next_name += 1

    def _change_coordinator(self):
        self._epoch += 1
        self._divider = self._new_divider()
        self._divider.take_over([holder.name for holder in self._holders])
        for holder in self._holders:
            if self._rng.random() < 0.7:
                self._messages.append((self._epoch, holder, self._follow, None))

    def _follow(self, epoch, holder):
        holder.epoch = epoch
        share = holder.share
        report = functools.partial(
            self._divider.assume,
            holder.name,
            share=share.share,
            remaining_s=max(-1e9, share.remaining_s()),
        )
        self._messages.append((epoch, holder, lambda *_: report(), None))


@dataclasses.dataclass
class RandomRun:
    """A run of the driver that a seed reproduces."""

    seed: int
    steps: int

    def run(self):
        """Runs the steps and returns the driver."""
        driver = Driver(random.Random(self.seed))
        for _ in range(self.steps):
            driver.step()
        driver.settle()
        return driver
