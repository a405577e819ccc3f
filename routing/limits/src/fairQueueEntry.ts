import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Something that waits its turn between teams. */
export interface FairQueueEntry<Item> {
    item: Item;
    teamId: TeamId;
    /** The team's share of contended capacity, relative to other teams; above 0. */
    weight: number;
    /** What serving the item costs, in any unit that all items share. */
    cost: number;
}
