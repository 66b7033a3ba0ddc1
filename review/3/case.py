"""Single processes are killed one after the other while two software versions serve; callers take their streams up again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from standins import CannotRun, Engine, Failed, Instance, Store, call, configuration, main, now  # noqa: E402

MODEL = "m0"
INSTANCES = 9
STREAMS = 24
# The instances whose processes are never killed.
INSTANCES_LEFT = 6
# Time between the kills, and until a killed process is started again.
BETWEEN_S = 2.5
AGAIN_S = 1.0


async def case(record, files, instances, trouble):
    store = Store()
    await store.start()
    engine_config = {
        "models": [{"name": MODEL, "weights_mb": 72700.0, "load_s": 0.6, "adapters": 3000, "adapter_mb": 40.0}],
        "weights_mb": 74000.0, "adapter_slots": 5, "loads_per_s": 3.2,
    }
    route = {
        "name": "tour-narration", "hostname": "flights.example", "path_prefix": "/tour/", "route_type": "streaming",
        "resumable": True, "service": "briefing-llm", "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 0,
        "max_attempts": 2, "gap_aim_ms": 400,
    }
    services = [{"name": "briefing-llm", "max_connections": 370, "engine": engine_config}]
    await store.put("config", "main", configuration(1, [route], services))
    engines = [Engine(f"i-{number}", "briefing-llm", store, record, MODEL, 5, slots=64) for number in range(6)]
    for number, it in enumerate(engines):
        it.software = "v1" if number % 2 else "v1.1"
        it.events, it.gap = 110, 0.1
        await it.start()
    for number in range(INSTANCES):
        instances.append(Instance(f"edge-{number}", "here", store, files))
        await instances[-1].start()
    for it in instances:
        await it.ready()
    # The instances have reported to the placer several times.
    await asyncio.sleep(4)
    attempts = 0

    async def stream(at, resumes=None, last=None):
        """Returns the attempt's id, what came of it, and the events that came, each with the version that made it."""
        nonlocal attempts
        attempts += 1
        own = f"{attempts:016x}"
        headers = {
            "X-Chervilshunt-Attempt-Id": own, "X-Chervilshunt-Model": MODEL, "X-Chervilshunt-Token-Usage": "1110,171",
            "X-Chervilshunt-Deadline-Ms": "15000",
        }
        if resumes:
            headers.update({"Resumes": resumes, "Last-Event-Id": str(last)})
        seen = []
        try:
            status = (await call(at.callers, "POST", "/tour/long", headers, b"{}", limit=16, seen=seen)).status
        except (Failed, OSError, asyncio.TimeoutError) as error:
            status = repr(error)
        lines = [it for it in b"".join(seen).decode().split("\n") if it.startswith("data: ")]
        versions = sorted({it.split()[2] for it in lines})
        about = f", takes up {resumes} after event {last}" if resumes else ""
        record.line(f"client {own} at {at.name}{about}: {status}, {len(lines)} events of {versions}")
        return own, status, len(lines)

    holder = store.spec("chervilshunt-leases", "placer")["holder"]
    placer = next(it for it in instances if it.name == holder)
    deputy, entry, *rest = [it for it in instances if it is not placer]
    rest += [placer, deputy]
    record.line(f"the placer is {placer.name}, and {deputy.name} its deputy; the streams come to {entry.name}")
    running = [asyncio.ensure_future(stream(entry)) for _ in range(STREAMS)]
    # Long after the first events have come.
    await asyncio.sleep(2)
    if trouble:
        for it in (placer, deputy, entry):
            it.signal(signal.SIGKILL)
            await it.process.wait()
            record.line(f"{it.name} is killed")
            if it is entry:
                break
            await asyncio.sleep(AGAIN_S)
            await it.start()
            record.line(f"{it.name} starts again")
            await asyncio.sleep(BETWEEN_S - AGAIN_S)
    broken = [it for it in await asyncio.gather(*running) if it[1] != 200]

    async def take_up(number, first, events):
        """Takes a stream up at another instance, and comes again when told to within two seconds."""
        for turn in range(3):
            _, _, more = await stream(rest[(number + turn) % INSTANCES_LEFT], first, events)
            if more:
                return True
            await asyncio.sleep(0.7)
        return False

    async def begin(number):
        _, _, events = await stream(rest[number % INSTANCES_LEFT])
        return events > 0

    taken, begun = await asyncio.gather(
        asyncio.gather(*[take_up(number, own, events) for number, (own, _, events) in enumerate(broken) if events]),
        asyncio.gather(*[begin(number) for number in range(STREAMS)]),
    )
    if trouble:
        await asyncio.sleep(AGAIN_S)
        await entry.start()
    record.line(f"{sum(taken)} of {len(taken)} streams that were taken up went on; {sum(begun)} of {len(begun)} new streams began")
    if not trouble:
        return None if not broken else f"{len(broken)} streams broke off without any disruption"
    if len(taken) < 12:
        raise CannotRun(f"only {len(taken)} streams were taken up again")
    if sum(taken) / len(taken) < sum(begun) / len(begun) / 2:
        return (f"LOST: {sum(taken)} of {len(taken)} streams that were taken up went on, while {sum(begun)} of {len(begun)} "
                "new streams began")
    return None


main(FOLDER, case)
