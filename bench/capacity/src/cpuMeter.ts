const MICROSECONDS_PER_MS = 1_000;

/** Measures the processor time of this process since the meter was created. */
export class CpuMeter {
    private readonly startedAt = process.cpuUsage();

    /** Returns the processor time of all threads, in milliseconds. */
    readMs(): number {
        const used = process.cpuUsage(this.startedAt);
        return (used.user + used.system) / MICROSECONDS_PER_MS;
    }
}
