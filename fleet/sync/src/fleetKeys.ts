import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { boundedKey } from "@knapweedwood/core.key-value/boundedKey";

const PREFIX = "knapweed/fleet/";
const SUSPICIONS_PREFIX = `${PREFIX}suspicions/`;
const MEMBERS_PREFIX = `${PREFIX}members/`;
const RUNNERS_PREFIX = `${PREFIX}runners/`;

/** Keys through which the processes of the fleet discover each other. */
export const fleetKeys = {
    prefix: PREFIX,
    membersPrefix: MEMBERS_PREFIX,
    /** Runners whose disks may contain held jobs. Not bound to a lease, as the disks outlast the processes. */
    runnersPrefix: RUNNERS_PREFIX,
    /** Requests and parts of prompts that are, or were, quarantined. */
    suspicionsPrefix: SUSPICIONS_PREFIX,
    /** Written by the process that runs batch jobs. */
    jobsLeader: `${PREFIX}jobs-leader`,
    suspicion: (service: ServiceName, part: RequestTraitId) => boundedKey(`${SUSPICIONS_PREFIX}${service}/${part}`),
    member: (instanceName: InstanceName) => `${MEMBERS_PREFIX}${instanceName}`,
    runner: (instanceName: InstanceName) => `${RUNNERS_PREFIX}${instanceName}`,
} as const;
