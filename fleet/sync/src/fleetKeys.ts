import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

const PREFIX = "knapweed/fleet/";
const MEMBERS_PREFIX = `${PREFIX}members/`;

/** Keys under which processes of the fleet find each other. */
export const fleetKeys = {
    prefix: PREFIX,
    membersPrefix: MEMBERS_PREFIX,
    /** Held by the process that runs batch jobs. */
    jobsLeader: `${PREFIX}jobs-leader`,
    member: (instanceName: InstanceName) => `${MEMBERS_PREFIX}${instanceName}`,
} as const;
