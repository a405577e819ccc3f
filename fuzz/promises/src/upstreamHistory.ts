import type { Execution } from "./execution.js";
import type { StreamChunk } from "./streamChunk.js";

/** The history of the calls that the upstreams ran. */
export class UpstreamHistory {
    private readonly lastChunkTimesMs = new Map<string, number>();
    private readonly executions: Execution[] = [];

    /** Records a chunk of the stream of a job's item. */
    recordChunk(chunk: StreamChunk): void {
        this.lastChunkTimesMs.set(chunk.jobId, chunk.atMs);
    }

    /** Returns the time of the job's last stream chunk, if any. */
    lastChunkAtMs(jobId: string): number | undefined {
        return this.lastChunkTimesMs.get(jobId);
    }

    add(execution: Execution): void {
        this.executions.push(execution);
    }

    allExecutions(): readonly Execution[] {
        return this.executions;
    }

    /** Returns how often the call has run. */
    countOf(call: string): number {
        return this.executions.filter(execution => execution.call === call).length;
    }
}
