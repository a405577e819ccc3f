import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";

/** One run of a daemon process, from its start until it is killed. */
export interface ProcessRun {
    instanceId: string;
    kind: "entry" | "side";
    launched: LaunchedProcess;
    startedAtMs: number;
    /** Undefined while the process runs. */
    endedAtMs: number | undefined;
    /** Times during which the process was suspended. */
    pauses: { fromMs: number; untilMs: number; }[];
    /** Base URL of an entry's operators' API; undefined for a side. */
    url: string | undefined;
}
