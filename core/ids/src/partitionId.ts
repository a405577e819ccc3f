import type { Brand } from "./brand.js";

export type PartitionId = Brand<string, "PartitionId">;
