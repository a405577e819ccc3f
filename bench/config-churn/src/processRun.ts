import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";

/** One run of one daemon, from its start until it was killed. */
export interface ProcessRun {
    instanceId: string;
    kind: "entry" | "side";
    launched: LaunchedProcess;
    startedAtMs: number;
    /** Undefined while it lives. */
    endedAtMs: number | undefined;
    pauses: { fromMs: number; untilMs: number; }[];
    /** Where an entry serves operators. */
    url: string | undefined;
}
