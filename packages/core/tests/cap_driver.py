"""Random operations on a cap divider and its holders over an unreliable network."""

import dataclasses
import functools
import random

from sassafrasway_core import caps, clock, invariants, window

CAP = 100.0
# Range of share sequences per epoch, so that shares of a higher epoch have higher sequences.
_SEQUENCES_PER_EPOCH = 1_000_000


class _Holder:
    """An instance that admits as much as its share of the cap allows."""

    def __init__(self, name, time):
        self.name = name
        self.epoch = 0
        self.share = caps.HeldShare(clock=time)
        self.window = window.SlidingWindow(limit=0, clock=time)

    def take(self, amount):
        self.window.set_limit(self.share.amount())
        return self.window.try_take(amount)


class Driver:
    """Runs operations that ``rng`` chooses and checks the sum of all holders.

    Heartbeats and replies are lost, delayed and reordered; holders stop and start; the coordinator
    changes, and the new one reaches only some of the holders. An ``AssertionError`` describes the
    violation.
    """

    def __init__(self, rng):
        self._rng = rng
        self._time = clock.ManualClock()
        self._holders = [_Holder(number, self._time) for number in range(rng.randint(1, 5))]
        self._next_name = len(self._holders)
        # Messages under way: (epoch, holder, request, share). A request is either the demand, the
        # confirmed sequence and the time of sending of a heartbeat, or a function to call. The
        # share is None except in a reply to a heartbeat.
        self._messages = []
        self._recent_admissions = []
        self._epoch = 0
        self._divider = self._new_divider()
        self.admitted = 0.0

    def step(self):
        """Runs one operation."""
        operations = [
            *[self._heartbeat] * 6,
            *[self._deliver] * 14,
            *[self._admit] * 8,
            *[self._advance] * 4,
            self._lose_message,
        ]
        if self._rng.random() < 0.03:
            operations = [self._remove_holder, self._add_holder, self._change_coordinator]
        self._rng.choice(operations)()

    def settle(self):
        """Runs heartbeats without faults and checks that the holders share the whole cap evenly."""
        self._messages.clear()
        for _ in range(20):
            self._time.advance(0.5)
            self._admit()
            for holder in self._holders:
                self._exchange_heartbeat(holder)
        for holder in self._holders:
            share = holder.share.amount()
            assert share >= 0.99 * CAP / len(self._holders), (
                f"share is less than an even part of the cap: {share}"
            )

    def _exchange_heartbeat(self, holder):
        confirmed = holder.share.sequence
        share = self._divider.renew(holder.name, demand=300.0, confirmed=confirmed)
        holder.epoch = self._epoch
        holder.share.apply(share, sent_s=self._time.monotonic())

    def _new_divider(self):
        checks = invariants.Invariants(mode=invariants.Mode.RAISE)
        return caps.CapDivider(
            cap=CAP,
            clock=self._time,
            invariants=checks,
            first_sequence=self._epoch * _SEQUENCES_PER_EPOCH + 1,
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
        # Most messages are delivered in order, so that confirmations arrive; some are reordered.
        index = 0 if self._rng.random() < 0.7 else self._rng.randrange(len(self._messages))
        epoch, holder, request, share = self._messages.pop(index)
        if holder not in self._holders or (share is None and epoch != self._epoch):
            return
        if callable(request):
            request(epoch, holder)
            return
        demand, confirmed, sent_s = request
        if share is None:
            share = self._divider.renew(holder.name, demand=demand, confirmed=confirmed)
            self._messages.append((epoch, holder, request, share))
            # After a takeover, the whole cap stays reserved for unknown holders while the shares
            # that holders report are reserved, too, so the sum may exceed the cap.
            assert self._divider.reserved() <= CAP * 1.000001 or self._epoch
        elif epoch >= holder.epoch:
            holder.epoch = epoch
            holder.share.apply(share, sent_s=sent_s)

    def _lose_message(self):
        if self._messages:
            self._messages.pop(self._rng.randrange(len(self._messages)))

    def _advance(self):
        self._time.advance(self._rng.choice([0.05, 0.1, 0.3, 1.0]))

    def _admit(self):
        for holder in self._rng.sample(self._holders, k=len(self._holders)):
            amount = self._rng.choice([1.0, 7.0, 30.0])
            while holder.take(amount):
                self._recent_admissions.append((self._time.monotonic(), amount))
                self.admitted += amount
        now_s = self._time.monotonic()
        self._recent_admissions = [
            entry for entry in self._recent_admissions if now_s - entry[0] <= window.WINDOW_S
        ]
        used = sum(amount for _, amount in self._recent_admissions)
        assert used <= CAP * 1.000001, f"{used} admitted in one second, cap is {CAP}"

    def _remove_holder(self):
        if self._holders:
            holder = self._holders.pop(self._rng.randrange(len(self._holders)))
            self._divider.remove(holder.name)

    def _add_holder(self):
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
        """Makes the holder follow the coordinator of the epoch and report its share to it."""
        holder.epoch = epoch
        held = holder.share
        report = functools.partial(
            self._divider.adopt_share,
            holder.name,
            share=held.share,
            remaining_s=max(-1e9, held.remaining_s()),
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
