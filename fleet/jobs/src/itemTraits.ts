import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import { fingerprintOf } from "@knapweedwood/fleet.quarantine/fingerprintOf";
import type { JobItem } from "./jobItem.js";
import type { JobRunnerOptions } from "./jobRunnerOptions.js";
import type { OpenJob } from "./openJob.js";
import { promptPartsOf } from "./promptPartsOf.js";

/** What an item has in common with other requests. */
export class ItemTraits {
    private readonly opts: Pick<JobRunnerOptions, "headers" | "decodeSharedPromptParts">;
    /** Fingerprints of the items that were started or about to be; computing those of all items would take seconds. */
    private readonly fingerprints = new WeakMap<JobItem, RequestFingerprint>();

    constructor(opts: Pick<JobRunnerOptions, "headers" | "decodeSharedPromptParts">) {
        this.opts = opts;
    }

    /** Returns the traits of an item, the most specific last, shape [traits]. */
    of(job: OpenJob, item: JobItem): RequestTraitId[] {
        return [...this.promptPartsOf(item), this.fingerprintOf(job, item)];
    }

    /** Returns those of the traits that are known without computing a fingerprint, shape [traits]. */
    knownOf(item: JobItem): RequestTraitId[] {
        return [...this.promptPartsOf(item), this.fingerprints.get(item) ?? []].flat();
    }

    /** Returns the parts of the item's prompt that other requests may share, shape [parts]. */
    promptPartsOf(item: JobItem): PromptPartId[] {
        return promptPartsOf(item.record, this.opts);
    }

    /** Returns the fingerprint of an item. Computes it once. */
    fingerprintOf(job: OpenJob, item: JobItem): RequestFingerprint {
        const known = this.fingerprints.get(item);
        if (known !== undefined) {
            return known;
        }
        const authorization = item.record.headers.find(({ name }) => name.toLowerCase() === "authorization")?.value;
        const fingerprint = fingerprintOf({
            host: job.record.host,
            authorization,
            method: "POST",
            path: item.record.path,
            promptParts: this.promptPartsOf(item),
            body: job.bodyOf(item),
        });
        this.fingerprints.set(item, fingerprint);
        return fingerprint;
    }
}
