import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Metadata of an uploaded or generated file. */
export interface FileRecord {
    fileId: FileId;
    teamId: TeamId;
    fileName: string;
    purpose: string;
    sizeBytes: number;
    /** Time of creation, in milliseconds since the Unix epoch. */
    createdAtMs: number;
}
