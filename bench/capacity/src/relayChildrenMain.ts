import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { createFleetMember } from "./createFleetMember.js";

const clock = new SystemClock();

/** Starts the children of a relay in a separate process, so that the relay's own cost can be measured. */
async function startChildren(request: { relay: InstanceRecord; children: number; }): Promise<void> {
    const instanceList = new MemoryInstanceList({ clock, lagMs: 0, ttlMs: Number.MAX_SAFE_INTEGER });
    await instanceList.announce(request.relay);
    const keyValue = new MemoryKeyValueService({ clock });
    for (let n = 0; n < request.children; n += 1) {
        const child = await createFleetMember({ name: `child-${n}`, kind: "side", keyValue, instanceList, seed: n });
        await child.configuration.start();
    }
    process.send?.("ready");
}

process.once("message", request => void startChildren(request as { relay: InstanceRecord; children: number; }));
