"""Many instances are killed at the same moment while two software versions serve; callers take their streams up again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from standins import CannotRun, Engine, Failed, Instance, Store, call, configuration, main, now  # noqa: E402

MODEL = "m0"
INSTANCES = 9
# "many processes are killed at the same moment (`herd_kill`)": share .55 in the site file.
KILLED = 4
STREAMS = 24


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
        it.events, it.gap = 80, 0.1
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
    others = [it for it in instances if it.name != holder]
    herd = [it for it in instances if it.name == holder] + others[: KILLED - 1]
    rest = [it for it in instances if it not in herd]
    record.line(f"the placer is {holder}; {[it.name for it in herd]} will be killed")
    running = [asyncio.ensure_future(stream(herd[number % len(herd)])) for number in range(STREAMS)]
    # Long after the first events have come.
    await asyncio.sleep(2)
    if trouble:
        for it in herd:
            it.signal(signal.SIGKILL)
        record.line("the herd is killed")

    async def start_again():
        await asyncio.sleep(1.0)
        for it in herd:
            await it.process.wait()
            await it.start()

    if trouble:
        starting = asyncio.ensure_future(start_again())
    broken = [it for it in await asyncio.gather(*running) if it[1] != 200]

    async def take_up(number, first, events):
        """Takes a stream up at instances that were not killed, and comes again when told to within two seconds."""
        for turn in range(3):
            _, status, more = await stream(rest[(number + turn) % len(rest)], first, events)
            if more:
                return True
            await asyncio.sleep(0.7)
        return False

    async def begin(number):
        _, _, events = await stream(rest[number % len(rest)])
        return events > 0

    taken, begun = await asyncio.gather(
        asyncio.gather(*[take_up(number, own, events) for number, (own, _, events) in enumerate(broken) if events]),
        asyncio.gather(*[begin(number) for number in range(STREAMS)]),
    )
    if trouble:
        await starting
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
