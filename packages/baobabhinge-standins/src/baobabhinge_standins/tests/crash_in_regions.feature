Feature: A crashing request is stopped before it has crossed all regions

  Scenario: One request, three regions with an engine each
    Given three regions with one engine each
    When a caller in east sends a marked prompt three times
    Then at most two engines have run it
