const BYTES_PER_MB = 1_048_576;
/** Share of the instance's memory for bytes held for callers. The rest is for the program, its heap and the sockets. */
const CALLERS_SHARE = 0.25;
const DEFAULT_MEMORY_MB = 256;

/** Returns how many bytes a process may hold for its callers, by the memory of its instance in MB, if that is known. */
export function memoryBudgetBytes(memoryMb: number | undefined): number {
    return (memoryMb ?? DEFAULT_MEMORY_MB) * BYTES_PER_MB * CALLERS_SHARE;
}
