Feature: Engines load what the settings say from a weight store at its rate limit

  Scenario Outline: Several engines are ordered to load at once
    Given two regions whose eight engines of two services hold version v1
    And a weight store that gives a quarter of a version each second
    When settings that add version v2 are accepted while calls go on
    And <event>
    Then every engine holds v1 and v2
    And the weight store has refused reads above its rate
    And every call was answered by version v1
    And no order was given to an engine more than 9 times in a row

    Examples:
      | event                                     |
      | nothing else happens                      |
      | the weight store is down for 60 calls     |
      | an engine is killed and started once more |
