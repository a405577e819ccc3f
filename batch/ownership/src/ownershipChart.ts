import { Chart } from "@knapweedwood/core.charts/chart";
import definition from "../charts/ownership.json" with { type: "json" };
import type { OwnershipEvent } from "./ownershipEvent.js";
import type { OwnershipState } from "./ownershipState.js";

/** State chart of one instance's ownership of one partition. */
export const ownershipChart = new Chart<OwnershipState, OwnershipEvent>(definition);
