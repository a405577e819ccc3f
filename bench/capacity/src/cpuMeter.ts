const MICROSECONDS_PER_MS = 1_000;

/** Processor time that this process has used since the meter was made. */
export class CpuMeter {
    private readonly startedAt = process.cpuUsage();

    /** @returns processor time of all threads, in milliseconds */
    readMs(): number {
        const used = process.cpuUsage(this.startedAt);
        return (used.user + used.system) / MICROSECONDS_PER_MS;
    }
}
