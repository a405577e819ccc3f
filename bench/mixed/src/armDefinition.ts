import type { ArmName } from "./armName.js";

/** How an arm uses the deployment. */
export interface ArmDefinition {
    name: ArmName;
    title: string;
    /** Model, and service of the same name, that online calls go to. */
    onlineModel: string;
    /** That of batch items; undefined where there are none. */
    batchModel: string | undefined;
}
