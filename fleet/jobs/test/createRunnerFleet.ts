import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { mock } from "node:test";
import { MemorySegments } from "./memorySegments.js";
import { SimulatedRunner } from "./simulatedRunner.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const RUNNERS = 3;

/** Runners with disks of their own. A runner starts when it is asked for; dead ones keep their disks. */
export function createRunnerFleet() {
    const clock = new ManualClock();
    const timeOfDay = mock.method(Date, "now", () => clock.nowMs());
    const service = new MemoryKeyValueService({ clock });
    const random = new SeededRandom(1);
    const upstreams = new SimulatedUpstreams(clock);
    const disks = Array.from({ length: RUNNERS }, () => new MemorySegments());
    const runners = new Map<number, SimulatedRunner>();
    const start = (index: number) => {
        const runner: SimulatedRunner = new SimulatedRunner({
            name: `runner-${index}`,
            clock,
            service,
            random,
            upstreams,
            segments: disks[index]!,
            others: () => [...runners.values()].filter(other => other !== runner && !other.clock.isDead),
            otherCount: RUNNERS - 1,
            resultRetentionMs: Infinity,
            onRunBegun: () => undefined,
        });
        runners.set(index, runner);
        runner.start();
        return runner;
    };
    const close = () => {
        [...runners.values()].forEach(runner => runner.clock.kill());
        service.close();
        timeOfDay.mock.restore();
    };
    return { clock, service, disks, start, close };
}
