import type { Brand } from "./brand.js";

/** Number of a partition of jobs and files, or of a shard of claims, from 0, as decimal text. */
export type PartitionId = Brand<string, "PartitionId">;
