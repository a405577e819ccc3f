import { Buffer } from "node:buffer";

/** Returns the items of a job, with bodies of `bodyBytes`. */
export function itemsOf(jobId, { count, bodyBytes = 50, headers = {} }) {
    return Array.from({ length: count }, (_, index) => ({
        id: `${jobId}-${index}`,
        path: "/jobs/3/91c4",
        headers: {
            "X-Model": "m",
            "X-Token-Counts": "540,400",
            "X-Prompt-Prefix": "9c2e41:300,5d07b8:240",
            ...headers,
        },
        body: Buffer.alloc(bodyBytes, 97).toString("base64"),
        tokenCount: 940,
    }));
}
