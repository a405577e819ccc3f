/** One HTTP call to a platform service. */
export interface HttpCall {
    method: "GET" | "PUT" | "POST" | "DELETE";
    path: string;
    /** Sent as JSON. */
    body?: unknown;
    timeoutMs: number;
    /** Whether the call may be sent once more, on a new connection, if no response arrives. */
    repeatable: boolean;
}
