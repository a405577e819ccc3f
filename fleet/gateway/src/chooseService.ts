import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Route } from "@knapweedwood/fleet.view/route";

/** Returns a service of the route, chosen at random by weight; undefined if the route has no services. */
export function chooseService(route: Route, random: Random): ServiceName | undefined {
    const total = route.services.reduce((sum, part) => sum + part.weight, 0);
    let remaining = random.next() * total;
    return route.services.find(part => {
        remaining -= part.weight;
        return remaining < 0;
    })?.service ?? route.services[0]?.service;
}
