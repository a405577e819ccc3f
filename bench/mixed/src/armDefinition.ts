import type { ArmName } from "./armName.js";

/** Definition of an arm: which models its online calls and batch items go to. */
export interface ArmDefinition {
    name: ArmName;
    title: string;
    /** Model of the online calls, served by the service of the same name. */
    onlineModel: string;
    /** Model of the batch items; undefined where the arm has none. */
    batchModel: string | undefined;
}
