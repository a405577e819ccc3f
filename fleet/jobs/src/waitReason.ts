/**
 * Why an item has no stored result and isn't running: its job's bodies are still being loaded, its route is missing, its
 * service has no ready upstream, online requests wait for the service, all upstreams are ejected or probed, none has a
 * free slot, the idle slots are reserved for online requests and lent to one item at a time, the item or a part of its
 * prompt is quarantined, its result isn't stored yet, or it waits for an upstream that can resume it, or for a faster one
 * at which it is on time.
 */
export type WaitReason =
    | "bodies-missing"
    | "route-missing"
    | "no-upstream"
    | "online-requests-wait"
    | "upstreams-ejected"
    | "no-free-slot"
    | "slots-reserved"
    | "quarantined"
    | "result-not-stored"
    | "resumption-awaited";
