import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { OpenJob } from "@knapweedwood/batch.jobs/openJob";
import type { StoredFile } from "@knapweedwood/batch.jobs/storedFile";
import { listRecords } from "@knapweedwood/batch.records/listRecords";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { SegmentDigest } from "@knapweedwood/core.ids/segmentDigest";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";

/** Reads the digests of the segments that files and open jobs need, by the id of the file or job. */
export async function readReferences(keyValue: KeyValueService): Promise<Map<string, SegmentDigest[]>> {
    const openJobs = await listRecords<OpenJob>(keyValue, batchKeys.openJobs);
    const files = await listRecords<StoredFile>(keyValue, batchKeys.allFiles);
    const references = new Map<string, SegmentDigest[]>(
        files.map(({ value }) => [value.record.fileId, value.segments.map(segment => segment.digest)]),
    );
    for (const { value: { jobId } } of openJobs) {
        const manifest = await readRecord<JobManifest>(keyValue, batchKeys.manifest(jobId));
        const progress = await readRecord<JobProgress>(keyValue, batchKeys.progress(jobId));
        const segments = [...manifest?.value.input ?? [], ...progress?.value.results ?? []];
        references.set(jobId, segments.map(segment => segment.digest));
    }
    return references;
}
