import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { JobItemRecord } from "./jobItemRecord.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";

/** Returns the parts of an item's prompt that other requests may share, shape [parts]. */
export function promptPartsOf(
    record: JobItemRecord,
    { headers, decodeSharedPromptParts }: Pick<JobRunnerOptions, "headers" | "decodeSharedPromptParts">,
): PromptPartId[] {
    return decodeSharedPromptParts(
        record.headers.find(({ name }) => name.toLowerCase() === headers.promptParts)?.value,
    );
}
