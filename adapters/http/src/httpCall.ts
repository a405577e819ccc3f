/** One HTTP call to a service of the platform. */
export interface HttpCall {
    method: "GET" | "PUT" | "POST" | "DELETE";
    path: string;
    /** Sent as JSON. */
    body?: unknown;
    timeoutMs: number;
    /** Whether the call may be sent again on a new connection where no answer came. */
    repeatable: boolean;
}
