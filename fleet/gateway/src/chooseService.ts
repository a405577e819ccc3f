import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { Route } from "@knapweedwood/fleet.view/route";

/** Draws a service of the route by weight; undefined where the route has none. */
export function chooseService(route: Route, random: Random): ServiceName | undefined {
    const total = route.services.reduce((sum, part) => sum + part.weight, 0);
    let remaining = random.next() * total;
    return route.services.find(part => {
        remaining -= part.weight;
        return remaining < 0;
    })?.service ?? route.services[0]?.service;
}
