/** The slots of a service that items may take, of the upstreams that may be used now. */
export interface ServiceSlots {
    /** Number of slots in which items may start now, without one that would be lent. */
    startable: number;
    /** Number of slots that neither an online request nor an item takes, also those reserved for online requests. */
    idle: number;
    /** Number of items that run. */
    running: number;
}
