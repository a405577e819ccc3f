/** The request that ends each upstream which begins to run it. Only its request id differs from call to call. */
export const crashingRequest = { path: "/fetch/crash", body: JSON.stringify({ events: 1, isCrashing: true }) };
