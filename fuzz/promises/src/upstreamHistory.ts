import type { Execution } from "./execution.js";
import type { StreamChunk } from "./streamChunk.js";

/** What the upstreams have run. */
export class UpstreamHistory {
    private readonly lastChunkTimesMs = new Map<string, number>();
    private readonly executions: Execution[] = [];

    /** Notes that a stream of a job's item still runs. */
    recordChunk(chunk: StreamChunk): void {
        this.lastChunkTimesMs.set(chunk.jobId, chunk.atMs);
    }

    /** When a stream of the job has last run. */
    lastChunkAtMs(jobId: string): number | undefined {
        return this.lastChunkTimesMs.get(jobId);
    }

    addExecution(execution: Execution): void {
        this.executions.push(execution);
    }

    allExecutions(): readonly Execution[] {
        return this.executions;
    }

    executionCount(call: string): number {
        return this.executions.filter(execution => execution.call === call).length;
    }
}
