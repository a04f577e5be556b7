"""Each node of a service gets one heartbeat of another writer."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import lab  # noqa: E402

SHOP_NODES = 3
TRAFFIC_S = 40.0
PAUSE_S = 0.2


async def send_foreign_heartbeat(
    machine: lab.Machine, record: lab.Record
) -> None:
    """Sends a heartbeat that names a service that isn't in the manifest."""
    instance = f"i-{lab.new_id()[:8]}"
    host, port = machine.app_address
    heartbeat = {
        "service": "elsewhere",
        "address": f"{host}:{port + 2}",
        "zone": lab.ZONE,
        "version": "v1",
        "slots": 40,
        "state": "ready",
        "coldLeftS": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }
    status = await lab.post(
        machine.control,
        f"/-/Instances.Heartbeat/{instance}",
        json.dumps(heartbeat).encode(),
    )
    record.write(f"heartbeat of another writer at {machine.ip}: {status}")


async def case(record: lab.Record) -> bool:
    async with lab.Cluster(record) as cluster:
        cluster.store.put(
            "config",
            "main",
            lab.manifest(
                3, [lab.route("buy", "shop", "unsafe")], ["front", "shop"]
            ),
        )
        front = cluster.add_machine("front")
        shops = [cluster.add_machine("shop") for _ in range(SHOP_NODES)]
        for machine in cluster.machines:
            machine.start()
        await cluster.start_upstream(lab.Upstream(front, "front", record))
        upstreams = [
            await cluster.start_upstream(lab.Upstream(m, "shop", record))
            for m in shops
        ]

        async def all_ready() -> bool:
            return all([await m.is_ready() for m in cluster.machines])

        async def all_acknowledged() -> bool:
            return all(upstream.sequence > 4 for upstream in upstreams)

        await cluster.wait_until(all_ready, "all nodes are ready")
        await cluster.wait_until(all_acknowledged, "heartbeats")
        if lab.TROUBLE:
            for machine in shops:
                await send_foreign_heartbeat(machine, record)
        await asyncio.sleep(4)  # Traffic starts seconds after the machines.
        statuses: dict[int, int] = {}

        async def request() -> None:
            _, status, _ = await lab.send(
                front, "POST", "/buy/x", record, body=b"x"
            )
            statuses[status] = statuses.get(status, 0) + 1

        tasks = []
        end_s = time.monotonic() + TRAFFIC_S
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(request()))
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)
        beats = sum(upstream.sequence for upstream in upstreams)
        text = (
            f"answers {statuses}; {beats} heartbeats of the upstreams, state"
            " ready"
        )
        record.write(text)
        print(text)
        return statuses.get(200, 0) > 0


lab.main(case, FOLDER)
