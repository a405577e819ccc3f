/**
 * The kinds of trouble: signals to processes, harm to disks, to the key-value service, to links and to upstreams, and the
 * planned work `stop`, `reload` and `drain`.
 */
export type FaultKind =
    | "kill-gateway"
    | "kill-runner"
    | "kill-all"
    | "pause-gateway"
    | "pause-runner"
    | "wipe-disk"
    | "tear-file"
    | "store-busy"
    | "store-silent"
    | "store-reset"
    | "store-slow"
    | "store-lost-answers"
    | "store-compacted"
    | "store-cut-one"
    | "store-cut-one-way"
    | "upstream-crash"
    | "upstream-slow"
    | "upstream-errors"
    | "upstream-cut"
    | "upstream-hang"
    | "upstream-garble"
    | "link-silent"
    | "link-one-way"
    | "link-delay"
    | "link-reset"
    | "stop"
    | "stop-runner"
    | "reload"
    | "drain";
