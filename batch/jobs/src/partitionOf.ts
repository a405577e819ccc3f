import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";

const HASH_DIGITS = 8;
const HEX_RADIX = 16;

/** Returns the partition that a job or file belongs to. */
export function partitionOf(id: string, partitionCount: number): PartitionId {
    const hash = Number.parseInt(digestOf(id).slice(0, HASH_DIGITS), HEX_RADIX);
    return String(hash % partitionCount) as PartitionId;
}
