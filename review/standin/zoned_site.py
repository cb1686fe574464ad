"""A small site with several zones: entries and runners of their own in each, and runners of several kinds."""
import asyncio
import json
import os
import time

from small_site import HEARTBEAT_S, PEER_PORT, RUNNER_PORT, SERVICE, Entry, Runner, Site


class ZonedEntry(Entry):
    def __init__(self, site, number, ip, zone):
        super().__init__(site, number, ip)
        self.zone, self.name = zone, "edge-%s-%d" % (zone, number + 1)

    def settings(self):
        values = json.loads(super().settings())
        values["entry"], values["data_centre"] = self.name, self.zone
        return json.dumps(values)


class ZonedRunner(Runner):
    def __init__(self, site, number, address, zone, rack, kind, room):
        super().__init__(site, number, address, room["cpu"], room["mem-mb"])
        self.zone, self.rack, self.kind, self.room = zone, rack, kind, room

    def report(self):
        self.sequence += 1
        self.site.store.put("servers", self.id, json.dumps({
            "service": SERVICE, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
            "capacity": 8, "state": "ready", "cold-remaining-ms": 0, "room": self.room,
            "labels": [self.kind, self.rack], "clock-ms": self.clock_ms(), "sequence": self.sequence}))

    def lose(self, listed_s=3 * HEARTBEAT_S):
        """Is gone for good, with what runs here; its entry is removed after three liveness report intervals."""
        self.site.record.say("%s (%s in %s) is lost for good" % (self.id, self.kind, self.zone))
        self.alive = False
        for task, run in list(self.running.items()):
            self.site.note_gone(self, task, run["run"])
        self.running = {}
        if self.lease_timer:
            self.lease_timer.cancel()
        for transport in list(self.transports):
            transport.abort()
        asyncio.get_running_loop().call_later(listed_s, self.site.store.remove, "servers", self.id)


class ZonedSite(Site):
    """`zones`: for each zone its name, the number of entries, and its runners as (kind, room) pairs."""

    def __init__(self, folder, zones, cpu_share=1):
        super().__init__(folder, entries=0, runners=0, cpu_share=cpu_share)
        for index, (zone, entries, runners) in enumerate(zones):
            for i in range(entries):
                self.entries.append(ZonedEntry(self, i, "%s.%d" % (self.net, 10 + len(self.entries)), zone))
            for kind, room in runners:
                number = len(self.runners)
                self.runners.append(ZonedRunner(self, number, ("%s.%d" % (self.net, 100 + number), RUNNER_PORT),
                                                zone, "r%d-1" % (index + 1), kind, room))
        self.cells = len(zones)

    async def begin(self):
        await super().begin()
        await self.wait_for(self.all_owned, 20, "owners of all cells")

    async def all_owned(self):
        counts = [await entry.owns_cells() for entry in self.entries if entry.alive()]
        return sum(int(count) for count in counts) >= self.cells
