import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

const PREFIX = "knapweed/fleet/";
const MEMBERS_PREFIX = `${PREFIX}members/`;

/** Keys through which the processes of the fleet discover each other. */
export const fleetKeys = {
    prefix: PREFIX,
    membersPrefix: MEMBERS_PREFIX,
    /** Written by the process that runs batch jobs. */
    jobsLeader: `${PREFIX}jobs-leader`,
    member: (instanceName: InstanceName) => `${MEMBERS_PREFIX}${instanceName}`,
} as const;
