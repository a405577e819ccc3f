import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import { placementKeys } from "./placementKeys.js";
import type { RegionPlan } from "./regionPlan.js";

/** Stores the plan of a region in the key-value service. Methods reject when a call to that service fails. */
export class PlanStore {
    private readonly keyValue: KeyValueService;
    private readonly region: RegionName;

    constructor(opts: { keyValue: KeyValueService; region: RegionName; }) {
        this.keyValue = opts.keyValue;
        this.region = opts.region;
    }

    /** Returns the stored plan; undefined if there is none. */
    async read(): Promise<RegionPlan | undefined> {
        const entry = await this.keyValue.get(placementKeys.plan(this.region));
        return entry === undefined ? undefined : JSON.parse(new TextDecoder().decode(entry.value)) as RegionPlan;
    }

    /**
     * Writes a plan if the lease with its fencing number is still held.
     *
     * @returns whether the plan was written
     */
    async write(plan: RegionPlan): Promise<boolean> {
        const holder = { key: placementKeys.holder(this.region), modRevision: plan.fencingNumber as FencingNumber };
        const value = new TextEncoder().encode(JSON.stringify(plan));
        const result = await this.keyValue.transact(
            [holder],
            [{ kind: "put", key: placementKeys.plan(this.region), value }],
        );
        return result.succeeded;
    }
}
