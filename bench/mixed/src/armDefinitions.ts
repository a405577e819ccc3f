import type { ArmDefinition } from "./armDefinition.js";

/** The arms of the experiment. */
export const armDefinitions: ArmDefinition[] = [
    { name: "a", title: "online alone", onlineModel: "mixed", batchModel: undefined },
    { name: "b", title: "first come, first served", onlineModel: "shared", batchModel: "shared" },
    { name: "c", title: "fleet split in two", onlineModel: "desk", batchModel: "lots" },
    { name: "d", title: "knapweedwood", onlineModel: "mixed", batchModel: "mixed" },
];
