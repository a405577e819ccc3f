/** Options of {@link runFaults}. */
export interface FaultsOptions {
    seed?: number;
    /** Duration of the fault injection. */
    seconds?: number;
    /** Items of all batch jobs to the model engines. */
    itemCount?: number;
    /** Calls with an idempotency key. */
    keyedCallCount?: number;
    /** Items of the batch job to a service with non-repeatable calls. */
    receiptCount?: number;
    /** Folder for settings, logs and data folders of the processes; a temporary one by default. */
    folder?: string;
}
