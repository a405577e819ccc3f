import type { AdmissionPolicy } from "./admissionPolicy.js";
import { BatchOffPolicy } from "./batchOffPolicy.js";
import { FirstComeFirstServedPolicy } from "./firstComeFirstServedPolicy.js";
import { OnlineFirstPolicy } from "./onlineFirstPolicy.js";

const POLICIES = {
    "online-first": OnlineFirstPolicy,
    "first-come-first-served": FirstComeFirstServedPolicy,
    "batch-off": BatchOffPolicy,
};

/** Creates the admission policy with the given name. */
export function createAdmissionPolicy(name: keyof typeof POLICIES): AdmissionPolicy {
    return new POLICIES[name]();
}
