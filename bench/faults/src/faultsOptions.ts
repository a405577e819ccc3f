/** Options of the experiment. */
export interface FaultsOptions {
    seed?: number;
    /** How long faults are brought in. */
    seconds?: number;
    itemCount?: number;
    keyedCallCount?: number;
    /** Items of a batch job to a service whose calls may not be repeated. */
    receiptCount?: number;
    /** Folder for settings, logs and data folders of the processes; a temporary one by default. */
    folder?: string;
}
