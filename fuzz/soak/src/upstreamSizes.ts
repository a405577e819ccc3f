/** Sizes of the upstreams of one soak. */
export interface UpstreamSizes {
    /** Slots of each upstream that runs streams and items. */
    modelSlots: number;
    /** Requests that wait there for a slot, in addition to those that run. */
    maxQueued: number;
    /** Number of adapters that each upstream names in its entry. */
    adapters: number;
}
