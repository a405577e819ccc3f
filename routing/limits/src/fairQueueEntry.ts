import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** An item in a fair queue between teams. */
export interface FairQueueEntry<Item> {
    item: Item;
    teamId: TeamId;
    /** The team's share of contended capacity, relative to other teams; above 0. */
    weight: number;
    /** Cost of serving the item, in a unit that is the same for all items. */
    cost: number;
}
