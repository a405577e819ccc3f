import type { FileRecord } from "@knapweedwood/batch.jobs/fileRecord";

const MS_PER_SECOND = 1000;

/** Converts a file record to the file object of the OpenAI API. */
export function fileObject(file: FileRecord): object {
    return {
        id: file.fileId,
        object: "file",
        bytes: file.sizeBytes,
        created_at: Math.floor(file.createdAtMs / MS_PER_SECOND),
        filename: file.fileName,
        purpose: file.purpose,
        status: "processed",
    };
}
