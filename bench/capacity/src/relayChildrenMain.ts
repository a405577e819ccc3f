import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { MemoryInstanceList } from "@knapweedwood/standins.instance-list/memoryInstanceList";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { createMember } from "./createMember.js";

const clock = new SystemClock();

/** Starts the children of a relay in a process of their own, so that the relay's share can be told apart. */
async function startChildren(order: { relay: InstanceRecord; children: number; }): Promise<void> {
    const instanceList = new MemoryInstanceList({ clock, lagMs: 0, ttlMs: Number.MAX_SAFE_INTEGER });
    await instanceList.announce(order.relay);
    const keyValue = new MemoryKeyValueService({ clock });
    for (let n = 0; n < order.children; n += 1) {
        const child = await createMember({ name: `child-${n}`, kind: "side", keyValue, instanceList, seed: n });
        await child.configuration.start();
    }
    process.send?.("ready");
}

process.once("message", order => void startChildren(order as { relay: InstanceRecord; children: number; }));
