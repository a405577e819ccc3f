import type { HostPort } from "@knapweedwood/fleet.view/hostPort";

/** Returns the addresses without duplicates and without this process's own, shape [runners]. */
export function otherRunners(runners: readonly HostPort[], ownAddress: HostPort): HostPort[] {
    const byAddress = new Map(runners.map(runner => [`${runner.host}:${runner.port}`, runner]));
    byAddress.delete(`${ownAddress.host}:${ownAddress.port}`);
    return [...byAddress.values()];
}
