import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

const PREFIX = "knapweed/fleet/";
const SUSPICIONS_PREFIX = `${PREFIX}suspicions/`;
const MEMBERS_PREFIX = `${PREFIX}members/`;

/** Keys through which the processes of the fleet discover each other. */
export const fleetKeys = {
    prefix: PREFIX,
    membersPrefix: MEMBERS_PREFIX,
    /** Requests and parts of prompts that are, or were, quarantined. */
    suspicionsPrefix: SUSPICIONS_PREFIX,
    /** Written by the process that runs batch jobs. */
    jobsLeader: `${PREFIX}jobs-leader`,
    suspicion: (service: ServiceName, part: RequestTraitId) => `${SUSPICIONS_PREFIX}${service}/${part}`,
    member: (instanceName: InstanceName) => `${MEMBERS_PREFIX}${instanceName}`,
} as const;
