import type { Execution } from "./execution.js";
import type { StreamChunk } from "./streamChunk.js";

/** What the upstreams have run. */
export class UpstreamRecord {
    private readonly lastChunks = new Map<string, number>();
    private readonly executions: Execution[] = [];

    /** Notes that a stream of a job's item still runs. */
    noteChunk(chunk: StreamChunk): void {
        this.lastChunks.set(chunk.jobId, chunk.atMs);
    }

    /** When a stream of the job has last run. */
    lastChunkAtMs(jobId: string): number | undefined {
        return this.lastChunks.get(jobId);
    }

    add(execution: Execution): void {
        this.executions.push(execution);
    }

    all(): readonly Execution[] {
        return this.executions;
    }

    countOf(call: string): number {
        return this.executions.filter(execution => execution.call === call).length;
    }
}
