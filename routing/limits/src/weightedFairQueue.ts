import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { FairQueueEntry } from "./fairQueueEntry.js";
import { StartTags } from "./startTags.js";

interface QueuedEntry<Item> extends FairQueueEntry<Item> {
    /** Virtual time at which serving the item would start. The lowest start tag is served next. */
    startTag: number;
}

/**
 * Start-time fair queueing between teams (Goyal, Vin and Cheng, 1996). Teams with queued items are served in proportion
 * to their weights, each team's items in order. A team gains no advantage from having been idle.
 */
export class WeightedFairQueue<Item> {
    private readonly queues = new Map<TeamId, QueuedEntry<Item>[]>();
    private readonly startTags = new StartTags<TeamId>();
    private count = 0;

    get size(): number {
        return this.count;
    }

    /** Returns the number of queued items of one team. */
    sizeOf(teamId: TeamId): number {
        return this.queues.get(teamId)?.length ?? 0;
    }

    /** Adds an item behind the other items of its team. */
    enqueue(entry: FairQueueEntry<Item>): void {
        const startTag = this.startTags.assign(entry.teamId, entry.cost / entry.weight);
        const queue = this.queues.get(entry.teamId) ?? [];
        queue.push({ ...entry, startTag });
        this.queues.set(entry.teamId, queue);
        this.count += 1;
    }

    /** Removes and returns the next item; undefined if the queue is empty. */
    dequeue(): Item | undefined {
        const next = [...this.queues.values()]
            .map(queue => queue[0])
            .reduce<QueuedEntry<Item> | undefined>(
                (first, entry) => first === undefined || entry.startTag < first.startTag ? entry : first,
                undefined,
            );
        if (next === undefined) {
            return undefined;
        }
        this.startTags.advanceTo(next.startTag);
        this.removeFirst(next.teamId);
        return next.item;
    }

    /** Removes an item before it is served. @returns whether the item was queued */
    remove(teamId: TeamId, item: Item): boolean {
        const queue = this.queues.get(teamId);
        const index = queue?.findIndex(entry => entry.item === item) ?? -1;
        if (queue === undefined || index === -1) {
            return false;
        }
        queue.splice(index, 1);
        this.onRemoved(teamId, queue);
        return true;
    }

    private removeFirst(teamId: TeamId): void {
        const queue = this.queues.get(teamId)!;
        queue.shift();
        this.onRemoved(teamId, queue);
    }

    private onRemoved(teamId: TeamId, queue: QueuedEntry<Item>[]): void {
        this.count -= 1;
        if (queue.length === 0) {
            this.queues.delete(teamId);
        }
        if (this.count === 0) {
            this.startTags.clear();
        }
    }
}
