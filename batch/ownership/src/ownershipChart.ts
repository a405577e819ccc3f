import { Chart } from "@knapweedwood/core.charts/chart";
import type { OwnershipEvent } from "./ownershipEvent.js";
import type { OwnershipState } from "./ownershipState.js";

/** The states of one instance's ownership of one partition. */
export const ownershipChart = Chart.read<OwnershipState, OwnershipEvent>(
    new URL("../../charts/ownership.json", import.meta.url),
);
